export type { Stamp } from './frame';
export type { MeasuredChannel } from './measured-channel';
export { PeerConnections, type PeerOptions } from './peer-connections';
export { defaultPeerSettings, type PeerSettings } from './peer-settings';
export type { PeerTraffic, Traffic } from './traffic';
export { WebSocketNetwork, type WebSocketSettings } from './websocket-network';
export { measureRelay, type RelayCost, type RelayOptions } from './bench/relay';

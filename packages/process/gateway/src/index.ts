export {
  type EngineControl,
  type EngineOrder,
  ResponseHeadListener,
  OrderResponse,
} from './connection/engine-control';
export { Gateway, type GatewayOptions, type GatewayPlatform } from './process/gateway';
export type { GatewaySettings } from './process/gateway-settings';

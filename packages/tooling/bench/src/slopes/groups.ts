import { measureBundle } from './bundle-slopes';
import { measureDirectory } from './directory-slopes';
import { measureFleets } from './fleet-slopes';
import { measureHostList } from './host-list-slopes';
import { measureMembers } from './membership-slopes';
import { measurePeers } from './peer-slopes';
import { measureStreams } from './relay-slopes';
import { measureReports } from './report-slopes';
import type { Slope } from './slope';

/** Groups of slopes; each is measured in a process of its own. */
export const slopeGroups: Readonly<Record<string, () => Promise<readonly Slope[]>>> = {
  bundle: measureBundle,
  directory: measureDirectory,
  hosts: measureHostList,
  members: measureMembers,
  peers: measurePeers,
  reports: measureReports,
  streams: measureStreams,
  fleet: measureFleets,
};

import { orderDomains } from '@currantdrift/routing';
import { itemNameOf } from '@currantdrift/placement';
import type { NodeOptions } from './node-options';
import type { InDoubtOrderSummary, EndpointSummary, Explanation, StatusReport } from './operations';
import type { Wiring } from './wiring';

export interface ReportContext extends Wiring {
  readonly options: NodeOptions;
  readonly ready: boolean;
  readonly stopping: boolean;
}

const endpointSummaries = ({ directory }: ReportContext): EndpointSummary[] =>
  directory
    .endpoints()
    .map((endpoint) => ({
      name: endpoint.host.name,
      kind: endpoint.host.kind,
      pool: endpoint.host.pool,
      state: endpoint.state,
      drained: directory.isDrained(endpoint.host.name),
      reachable: directory.isReachable(endpoint.host.name),
      fencing: endpoint.host.fencing,
      memoryBytes: endpoint.memoryBytes,
      usedBytes: endpoint.items.reduce((sum, { bytes }) => sum + bytes, 0),
      level: endpoint.level,
      items: endpoint.items.map(({ item, state }) => ({ item, state })),
    }))
    .sort((a, b) => (a.name < b.name ? -1 : 1));

/** Orders without an answer in the controller's record, including those of earlier epochs. */
export const inDoubtOrders = ({
  controllers,
}: Pick<Wiring, 'controllers'>): InDoubtOrderSummary[] => {
  const record = controllers.controller?.status().record;
  return (record?.intents ?? [])
    .filter(({ answered, kind }) => !answered && kind !== 'standing')
    .map(({ engine, item, kind, epoch }) => ({ endpoint: engine, item, kind, epoch }));
};

/** Builds the status report for operators. */
export const reportStatus = (context: ReportContext): StatusReport => {
  const { admission, controllers, directory, entry, holder, membership, options } = context;
  const { ready, stopping, summaries } = context;
  const holderName = controllers.holderName();
  const others = (holder.current?.bundle.domains ?? [])
    .filter(({ name }) => name !== options.domain)
    .map(({ name }) => ({
      name,
      reachable: summaries.summary(name)?.isFresh === true,
      warmItems: summaries.warmItems(name).length,
    }));
  return {
    name: options.name,
    domain: options.domain,
    region: options.region,
    bundleVersion: holder.version,
    ready,
    stopping,
    openRequests: entry.openRequests,
    waitingRequests: admission.waiting,
    members: membership.members().map(({ name, address, operatorAddress, status }) => ({
      name,
      address,
      operatorAddress,
      status,
      controller: name === holderName,
    })),
    endpoints: endpointSummaries(context),
    inDoubt: inDoubtOrders(context),
    domains: [
      { name: options.domain, reachable: true, warmItems: directory.warmItems().length },
      ...others,
    ],
  };
};

const placementLines = ({ controllers }: ReportContext, item: string): string[] => {
  const status = controllers.controller?.status();
  if (status?.record === undefined) {
    return [`the controller of this domain is ${controllers.holderName() ?? 'not known'}`];
  }
  const intents = status.record.intents.filter((intent) => itemNameOf(intent.item) === item);
  return [
    `epoch ${status.epoch}${status.isStoreDown ? ', the store does not answer' : ''}`,
    ...intents.map(
      ({ kind, engine, answered }) =>
        `${kind} of ${item} at ${engine}${answered ? '' : ', without an answer yet'}`,
    ),
  ];
};

/** Explains whether an item is warm and where requests for it go; undefined for unknown items. */
export const explainItem = (context: ReportContext, name: string): Explanation | undefined => {
  const { domains, holder, options, view } = context;
  const item = holder.current?.item(name);
  const itemKey = holder.current?.itemKey(name);
  if (item === undefined || itemKey === undefined) return undefined;
  const candidates = domains.domainOptions(name, itemKey);
  const own = { name: options.domain, region: options.region };
  return {
    item: name,
    itemKey,
    limit: item.replicas,
    domains: candidates.map(({ name: domain, allotment, warm, reachable }) => ({
      name: domain,
      allotment,
      warm,
      reachable,
    })),
    route: orderDomains(own, candidates).map(({ domain, reason }) => ({ domain, reason })),
    replicas: view.replicas(itemKey).map(({ host }) => host.name),
    placement: placementLines(context, name),
  };
};

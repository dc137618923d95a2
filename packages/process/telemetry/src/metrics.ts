/** A metric of the daemon. */
export interface MetricDefinition {
  readonly type: 'counter' | 'gauge' | 'histogram';
  readonly help: string;
  readonly labels: readonly string[];
  /** Upper bounds of a histogram's buckets, in the metric's unit. */
  readonly buckets?: readonly number[];
}

const latencyBuckets = [
  0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120,
];

/** Every metric of the daemon by name; docs/operators.md explains how to read them. */
export const metricDefinitions: Readonly<Record<string, MetricDefinition>> = {
  currantdrift_requests_total: {
    type: 'counter',
    help: 'Requests of callers by what they ended with',
    labels: ['kind', 'outcome'],
  },
  currantdrift_refusals_total: {
    type: 'counter',
    help: 'Refused requests by error code',
    labels: ['code'],
  },
  currantdrift_time_to_first_token_seconds: {
    type: 'histogram',
    help: 'Time from the whole request to the first token, split by cold and warm start',
    labels: ['start'],
    buckets: latencyBuckets,
  },
  currantdrift_tokens_total: {
    type: 'counter',
    help: 'Tokens relayed to callers',
    labels: [],
  },
  currantdrift_attempts_total: {
    type: 'counter',
    help: 'Attempts at endpoints by what they ended with',
    labels: ['outcome'],
  },
  currantdrift_queue_length: {
    type: 'gauge',
    help: 'Requests that wait for a replica',
    labels: [],
  },
  currantdrift_open_requests: {
    type: 'gauge',
    help: 'Requests of callers that are being served',
    labels: [],
  },
  currantdrift_idle_accelerator_seconds_total: {
    type: 'counter',
    help: 'Seconds that replicas of this domain were ready without a request; counted by its controller',
    labels: [],
  },
  currantdrift_wakeups_total: {
    type: 'counter',
    help: 'Loads ordered by this controller by what they ended with',
    labels: ['outcome'],
  },
  currantdrift_in_doubt_orders: {
    type: 'gauge',
    help: 'Orders whose effect is not known; counted by the domain controller',
    labels: [],
  },
  currantdrift_store_calls_total: {
    type: 'counter',
    help: 'Calls to the store by kind and result',
    labels: ['call', 'result'],
  },
  currantdrift_control_bytes_total: {
    type: 'counter',
    help: 'Bytes of control messages between daemons',
    labels: ['direction'],
  },
  currantdrift_bundle_version: {
    type: 'gauge',
    help: 'Version of the bundle in force in this process',
    labels: [],
  },
  currantdrift_controller: {
    type: 'gauge',
    help: '1 while this process is the controller of its domain',
    labels: [],
  },
  currantdrift_sends_total: {
    type: 'counter',
    help: 'Sends of requests to endpoints by what they ended with',
    labels: ['outcome'],
  },
  currantdrift_forward_seconds: {
    type: 'histogram',
    help: 'Time from the arrival of a request to the end of its answer',
    labels: ['outcome'],
    buckets: latencyBuckets,
  },
  currantdrift_first_byte_seconds: {
    type: 'histogram',
    help: 'Time from a send to the first byte of the endpoint',
    labels: [],
    buckets: latencyBuckets,
  },
  currantdrift_stream_pause_seconds: {
    type: 'histogram',
    help: 'Longest time between two parts of a stream',
    labels: [],
    buckets: latencyBuckets,
  },
  currantdrift_malformed_entries_total: {
    type: 'counter',
    help: 'Entries of the store and the host list that were refused as malformed',
    labels: ['kind'],
  },
  currantdrift_malformed_limits_total: {
    type: 'counter',
    help: 'Answers of endpoints whose request limit could not be read',
    labels: [],
  },
  currantdrift_limited_refusals_total: {
    type: 'counter',
    help: 'Requests that were refused because all endpoints limit their requests',
    labels: [],
  },
  currantdrift_limited_calls_total: {
    type: 'counter',
    help: 'Calls of this process to endpoints that limit their requests, by kind of call',
    labels: ['kind'],
  },
  currantdrift_paced_endpoints_total: {
    type: 'counter',
    help: 'Endpoints that began to open gradually, by cause',
    labels: ['cause'],
  },
  currantdrift_paced_requests_total: {
    type: 'counter',
    help: 'Choices of an endpoint that its pace did not allow, by cause',
    labels: ['cause'],
  },
  currantdrift_quota_tokens_total: {
    type: 'counter',
    help: "Units of customers' quotas: used, refused and refunded here; granted as the owner or as a stand-in",
    labels: ['customer', 'kind'],
  },
  currantdrift_prefix_age_seconds: {
    type: 'gauge',
    help: 'Time since the store last said, directly or through members, that no newer entry exists',
    labels: ['prefix'],
  },
  currantdrift_prefix_revision: {
    type: 'gauge',
    help: 'Revision of the store up to which this process knows the entries',
    labels: ['prefix'],
  },
  currantdrift_loads_total: {
    type: 'counter',
    help: 'Loads of models that this process ordered, by reason and source of the weights',
    labels: ['reason', 'source'],
  },
  currantdrift_load_promise_ratio: {
    type: 'histogram',
    help: 'Actual time until a model was ready as a multiple of the promised time, by source of the weights',
    labels: ['source'],
    buckets: [0.25, 0.5, 0.75, 0.9, 1, 1.1, 1.2, 1.5, 2, 3, 5, 10],
  },
  currantdrift_log_lines_dropped_total: {
    type: 'counter',
    help: 'Log lines that were dropped because their reader was slow',
    labels: [],
  },
};

import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { VirtualClock } from '@currantdrift/fakes';
import { enableLogs, ProcessTelemetry, SpanTracer } from '@currantdrift/telemetry';

const create = (traces: string, lines: string[] = []) =>
  ProcessTelemetry.create({
    clock: VirtualClock.create(1_000),
    commonFields: { host: 'vake-1' },
    tracer: SpanTracer.create(traces),
    write: (line) => lines.push(line),
  });

// Guards against log lines that are not JSON, or that debug's own formatting changes.
test('writes log lines as JSON with the common fields', () => {
  enableLogs('currantdrift:*');
  const lines: string[] = [];
  create('none', lines).log('store call failed', { step: 'store.get', message: '100%s of %d' });
  expect(lines.map((line) => JSON.parse(line))).toEqual([
    {
      time: '1970-01-01T00:00:01.000Z',
      event: 'store call failed',
      host: 'vake-1',
      step: 'store.get',
      message: '100%s of %d',
    },
  ]);
});

// Guards against spans that lose their parent across processes.
test('exports spans as JSON lines of one trace', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'currantdrift-'));
  const file = join(folder, 'spans');
  const telemetry = create(file);
  const entry = telemetry.span('entry', undefined, { caller: 'stall-1' });
  telemetry.span('endpoint', entry.traceparent).end('answered');
  entry.end();
  await telemetry.close();
  const spans = readFileSync(file, 'utf8')
    .trim()
    .split('\n')
    .map((line) => JSON.parse(line));
  rmSync(folder, { recursive: true });
  const [endpoint, root] = spans;
  expect(endpoint).toMatchObject({ name: 'endpoint', outcome: 'answered', parent: root.span });
  expect(endpoint.trace).toBe(root.trace);
  expect(root).toMatchObject({ name: 'entry', caller: 'stall-1' });
});

// Guards against a metric that has a definition but is not exported.
test('exports counters with their labels', async () => {
  const telemetry = create('none');
  telemetry.count('currantdrift_refusals_total', { code: 'queue_full' });
  const text = await telemetry.metrics.text();
  expect(text).toContain('currantdrift_refusals_total{code="queue_full"} 1');
});

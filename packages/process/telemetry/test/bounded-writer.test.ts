import { Writable } from 'node:stream';
import { BoundedWriter } from '../src';

// A slow log reader must neither block the process nor let its memory grow without bound.
test('lines beyond the bound are dropped, and their number is written later', async () => {
  const lines: string[] = [];
  let release: () => void = () => {};
  const slow = new Writable({
    decodeStrings: false,
    write: (chunk: string, _encoding, done) => {
      lines.push(chunk);
      release = done;
    },
  });
  const writer = BoundedWriter.create(slow);
  const line = 'x'.repeat(1_000);
  for (let index = 0; index < 1_000; index += 1) writer.write(line);
  expect(slow.writableLength).toBeLessThan(300_000);
  while (slow.writableLength > 0) {
    release();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  writer.write('last');
  release();
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  const written = lines.filter((text) => text.startsWith('x')).length;
  expect(lines.join('')).toContain(`"lines":${1_000 - written}`);
});

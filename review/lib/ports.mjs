// Free ports on loopback addresses.
import { createServer } from 'node:net';

/** Ports that were handed out; none is handed out twice. */
const taken = new Set();

/** A port of a loopback address that nobody listens on. */
export const freePort = async (host) => {
  const port = await new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const found = server.address().port;
      server.close(() => resolve(found));
    });
  });
  if (taken.has(port)) return freePort(host);
  taken.add(port);
  return port;
};

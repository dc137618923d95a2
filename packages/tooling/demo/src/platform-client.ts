import { request } from 'undici';

/** Posts to a stand-in, such as `/faults`. */
export const postStandin = async (address: string, path: string, body: unknown): Promise<void> => {
  const response = await request(`http://${address}${path}`, {
    method: 'POST',
    headers: { 'Content-Type': 'application/json' },
    body: JSON.stringify(body),
  });
  const text = await response.body.text();
  if (response.statusCode >= 300)
    throw new Error(`${address}${path}: ${response.statusCode} ${text}`);
};

/** What a stand-in counted. */
export const readStats = async <T>(address: string): Promise<T> => {
  const { body } = await request(`http://${address}/stats`);
  return (await body.json()) as T;
};

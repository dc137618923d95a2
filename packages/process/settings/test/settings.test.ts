import { checkSettings, formatValidationIssue, readSettings } from '@currantdrift/settings';

const key = '-----BEGIN PUBLIC KEY-----\nMCowBQYDK2VwAyEA\n-----END PUBLIC KEY-----\n';

const document = {
  name: 'vake-1',
  deployment: 'mtkvari',
  domain: 'tbilisi-vake',
  region: 'tbilisi',
  callers: { address: '127.0.0.1:8001' },
  operators: { address: '127.0.0.1:9001', tokenHashes: ['a'.repeat(64)] },
  peers: { address: '127.0.0.1:7001' },
  platform: { store: '127.0.0.1:6001', hosts: '127.0.0.1:6002' },
  trustedKeys: { nino: key, dato: key },
  prices: { idleHour: 3, coldSecond: 0.01 },
};

// Guards against defaults that change unnoticed.
test('fills in the defaults', () => {
  expect(checkSettings(document)._unsafeUnwrap()).toMatchSnapshot();
});

// Guards against an operator having to correct one mistake a run.
test('reports every mistake at once with path, value and expectation', () => {
  const mistakes = checkSettings({
    ...document,
    domain: 'Tbilisi Vake',
    callers: { address: 'localhost:8001', maxBodyBytes: '1MB' },
    prices: { idleHour: -1 },
    trustedKeys: { nino: key },
    peer: { address: '127.0.0.1:7001' },
  })._unsafeUnwrapErr();
  expect(mistakes.map(formatValidationIssue)).toMatchSnapshot();
});

// Guards against a missing file being reported as a schema mistake.
test('names the file that cannot be read', () => {
  const failure = readSettings('/nonexistent/settings.json')._unsafeUnwrapErr();
  expect(failure).toMatchObject({ kind: 'unreadable', file: '/nonexistent/settings.json' });
});

// Guards against a key file that does not exist being reported as a malformed key.
test('says how to make a key file that does not exist', () => {
  const trustedKeys = { nino: '../keys/nino.pub.pem', dato: 'no key' };
  const mistakes = checkSettings({ ...document, trustedKeys })._unsafeUnwrapErr();
  expect(mistakes.map(formatValidationIssue)).toMatchSnapshot();
});

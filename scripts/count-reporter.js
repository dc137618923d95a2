const { mkdirSync, writeFileSync, writeSync } = require('node:fs');
const { join } = require('node:path');

const target = join(__dirname, '..', 'target');

const namesOf = ({ testResults }, status) =>
  testResults.filter((test) => test.status === status).map(({ fullName }) => fullName);

/** Prints the number of passed and failed tests alone on the last line, and writes what failed. */
class CountReporter {
  onRunComplete(_contexts, results) {
    const failed = results.numFailedTests + results.numRuntimeErrorTestSuites;
    const report = {
      suites: results.numRuntimeErrorTestSuites,
      tests: results.testResults.flatMap((file) => namesOf(file, 'failed')),
    };
    mkdirSync(target, { recursive: true });
    writeFileSync(join(target, 'failed-tests.json'), JSON.stringify(report));
    const line = `${results.numPassedTests} passed, ${failed} failed\n`;
    // jest prints its own summary after this call.
    process.on('exit', () => writeSync(1, line));
  }
}

module.exports = CountReporter;

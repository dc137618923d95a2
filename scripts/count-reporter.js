const { mkdirSync, readFileSync, writeFileSync, writeSync } = require('node:fs');
const { join } = require('node:path');

const target = join(__dirname, '..', 'target');
const reportFile = join(target, 'failed-tests.json');

const namesOf = ({ testResults }, status) =>
  testResults.filter((test) => test.status === status).map(({ fullName }) => fullName);

const noReport = { suites: 0, tests: [], passed: 0, failed: 0 };

/** The report of the first part of a run in two parts. */
const readBefore = () =>
  process.env.TEST_PART === 'second' ? JSON.parse(readFileSync(reportFile, 'utf8')) : noReport;

/**
 * Writes what failed, and prints the number of passed and failed tests alone on the last line. The second
 * part of a run in two parts adds to the first, which prints nothing.
 */
class CountReporter {
  onRunComplete(_contexts, results) {
    const before = readBefore();
    const failed = results.numFailedTests + results.numRuntimeErrorTestSuites;
    const report = {
      suites: before.suites + results.numRuntimeErrorTestSuites,
      tests: [...before.tests, ...results.testResults.flatMap((file) => namesOf(file, 'failed'))],
      passed: before.passed + results.numPassedTests,
      failed: before.failed + failed,
    };
    mkdirSync(target, { recursive: true });
    writeFileSync(reportFile, JSON.stringify(report));
    if (process.env.TEST_PART === 'first') return;
    const line = `${report.passed} passed, ${report.failed} failed\n`;
    // jest prints its own summary after this call.
    process.on('exit', () => writeSync(1, line));
  }
}

module.exports = CountReporter;

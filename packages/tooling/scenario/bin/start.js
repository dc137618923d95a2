const output = {
  out: (text) => process.stdout.write(`${text}\n`),
  err: (text) => process.stderr.write(`${text}\n`),
};

/** Runs a program's main function with the command line; its result is the exit code. */
const start = async (main) => {
  try {
    process.exitCode = await main(process.argv.slice(2), output);
  } catch (error) {
    output.err(String(error.stack ?? error));
    process.exitCode = 1;
  }
};

module.exports = { start };

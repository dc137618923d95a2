const { main } = require('../dist');

const output = {
  out: (text) => process.stdout.write(`${text}\n`),
  err: (text) => process.stderr.write(`${text}\n`),
};

main(process.argv.slice(2), output).then(
  (code) => {
    process.exitCode = code;
  },
  (error) => {
    output.err(String(error.stack ?? error));
    process.exitCode = 1;
  },
);

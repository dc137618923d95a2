const { measureRelay } = require('../dist');

const benches = {
  relay: async () => console.table(await measureRelay()),
};

const main = async (names) => {
  for (const name of names.length > 0 ? names : Object.keys(benches)) {
    if (benches[name] === undefined) {
      console.error(`there is no benchmark "${name}"; known: ${Object.keys(benches).join(', ')}`);
      process.exitCode = 2;
      return;
    }
    await benches[name]();
  }
};

main(process.argv.slice(2));

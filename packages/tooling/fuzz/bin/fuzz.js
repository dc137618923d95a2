const { start } = require('@currantdrift/scenario/bin/start');
const { main } = require('../dist');

start(main);

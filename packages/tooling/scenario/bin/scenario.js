#!/usr/bin/env node
const { main } = require('../dist');
const { start } = require('./start');

start(main);

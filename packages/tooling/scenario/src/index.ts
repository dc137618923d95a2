export type { Violation } from './checks';
export { deploymentOf } from './deployment';
export type { Verdict } from './judge';
export { main, type Output } from './main';
export { describeParseError, type ParseError, parseScenario } from './parse';
export { type Protection, protectionNames } from './protections';
export { type Report, type RunOptions, runScenario } from './run';
export type { Expectation, Scenario, Statement, Step } from './scenario';

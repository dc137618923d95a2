export { ByteBudget } from './byte-budget';
export type { Exchange, Head, Headers } from './exchange';
export {
  type HttpCall,
  HttpClient,
  type OpenAnswer,
  type WholeAnswer,
  type WholeCall,
} from './http-client';
export { errorSchema, parseJson } from './json';
export type { HttpSettings } from './settings';
export { impliesNotRun } from './not-run-status';

export { check, type Violations } from './check';
export { planOf } from './generate';
export { main, type Output } from './main';
export { type Plan, textOf } from './plan';
export { shrink } from './shrink';

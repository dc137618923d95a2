import { hash32 } from '@currantdrift/core';
import type { Configuration, Route } from './configuration';

/** Finds the route of a request by host and longest path prefix. */
export class RouteTable {
  private constructor(private readonly byHost: ReadonlyMap<string, readonly Route[]>) {}

  static create(configuration: Configuration): RouteTable {
    const byHost = new Map<string, Route[]>();
    configuration.routes.forEach((route) => {
      const key = route.host.toLowerCase();
      byHost.set(key, [...(byHost.get(key) ?? []), route]);
    });
    byHost.forEach((routes) => routes.sort((a, b) => b.prefix.length - a.prefix.length));
    return new RouteTable(byHost);
  }

  /** `host` may include a port, `path` a query string; both are ignored in the match. */
  match(host: string, path: string): Route | undefined {
    const name = host.replace(/:\d+$/u, '').toLowerCase();
    const [pathname] = path.split('?', 1);
    return this.byHost.get(name)?.find((route) => pathname.startsWith(route.prefix));
  }
}

/** Selects a service of the route by weight; the same request `id` always gives the same service. */
export const selectService = (route: Route, id: string): string => {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let point = (hash32(id) / 2 ** 32) * total;
  const target = route.targets.find(({ weight }) => {
    point -= weight;
    return point < 0;
  });
  return (target ?? route.targets[route.targets.length - 1]).service;
};

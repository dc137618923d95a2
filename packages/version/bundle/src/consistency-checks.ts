import { type Bundle, modelOf } from '@currantdrift/core';
import type { ValidationIssue } from './validation-issue';

type Named = readonly { readonly name: string }[];

const duplicateNameIssues = (list: string, entries: Named): ValidationIssue[] => {
  const first = new Map<string, number>();
  return entries.flatMap(({ name }, index) => {
    const other = first.get(name);
    if (other === undefined) {
      first.set(name, index);
      return [];
    }
    return [
      {
        path: `${list}[${index}].name`,
        value: JSON.stringify(name),
        expected: `a name that is not yet in use at ${list}[${other}]`,
      },
    ];
  });
};

const keyHashIssues = (bundle: Bundle): ValidationIssue[] => {
  const owners = new Map<string, string>();
  return bundle.callers.flatMap((caller, index) =>
    caller.keyHashes.flatMap((hash, at) => {
      const owner = owners.get(hash);
      owners.set(hash, caller.name);
      if (owner === undefined) return [];
      return [
        {
          path: `callers[${index}].keyHashes[${at}]`,
          value: JSON.stringify(hash),
          expected: `an API key of this caller alone; caller ${JSON.stringify(owner)} has it too`,
        },
      ];
    }),
  );
};

const callerIssues = (bundle: Bundle): ValidationIssue[] => {
  const models = new Set(bundle.models.map(({ name }) => name));
  const adapters = new Set(bundle.adapters.map(({ name }) => name));
  const services = new Set(bundle.services.map(({ name }) => name));
  const known = (item: string) =>
    item.endsWith(':*') ? models.has(modelOf(item)) : models.has(item) || adapters.has(item);
  return bundle.callers.flatMap((caller, index) => [
    ...caller.items.flatMap((item, at) =>
      known(item)
        ? []
        : [
            {
              path: `callers[${index}].items[${at}]`,
              value: JSON.stringify(item),
              expected: 'a model or an adapter of this bundle, or "model:*" of one of its models',
            },
          ],
    ),
    ...caller.services.flatMap((service, at) =>
      services.has(service)
        ? []
        : [
            {
              path: `callers[${index}].services[${at}]`,
              value: JSON.stringify(service),
              expected: 'a service of this bundle',
            },
          ],
    ),
  ]);
};

const adapterIssues = (bundle: Bundle): ValidationIssue[] => {
  const models = new Set(bundle.models.map(({ name }) => name));
  return bundle.adapters.flatMap(({ name }, index) =>
    models.has(modelOf(name))
      ? []
      : [
          {
            path: `adapters[${index}].name`,
            value: JSON.stringify(name),
            expected: 'an adapter of a model of this bundle',
          },
        ],
  );
};

const calendarIssues = (bundle: Bundle): ValidationIssue[] =>
  bundle.models.flatMap(({ calendar }, index) =>
    calendar.flatMap(({ from, to }, at) =>
      from === to
        ? [
            {
              path: `models[${index}].calendar[${at}].to`,
              value: JSON.stringify(to),
              expected: 'an end that differs from the start',
            },
          ]
        : [],
    ),
  );

const firstBundleIssues = (bundle: Bundle): ValidationIssue[] => {
  if (bundle.version === 1) {
    const chain: ValidationIssue[] =
      bundle.previous === null
        ? []
        : [
            {
              path: 'previous',
              value: JSON.stringify(bundle.previous),
              expected: 'null, as this is the first version',
            },
          ];
    return [
      ...chain,
      ...bundle.domains.flatMap((domain, index) =>
        domain.founding
          ? []
          : [
              {
                path: `domains[${index}].founding`,
                value: 'false',
                expected: 'true in the first version',
              },
            ],
      ),
    ];
  }
  return bundle.previous === null
    ? [
        {
          path: 'previous',
          value: 'null',
          expected: 'the digest of the bundle that this one replaces',
        },
      ]
    : [];
};

const domainIssues = (bundle: Bundle, previous: Bundle): ValidationIssue[] => [
  ...previous.domains.flatMap((before, index) => {
    const after = bundle.domains.at(index);
    if (
      after?.name === before.name &&
      after.region === before.region &&
      after.founding === before.founding
    ) {
      return [];
    }
    return [
      {
        path: `domains[${index}]`,
        value: after === undefined ? 'nothing' : JSON.stringify(after),
        expected: `${JSON.stringify(before)} as before, because the list of domains may only grow at its end`,
      },
    ];
  }),
  ...bundle.domains.slice(previous.domains.length).flatMap((domain, index) =>
    domain.founding
      ? [
          {
            path: `domains[${previous.domains.length + index}].founding`,
            value: 'true',
            expected: 'false for a domain appended after the first version',
          },
        ]
      : [],
  ),
];

const versionIssues = (bundle: Bundle, previous: Bundle): ValidationIssue[] =>
  bundle.version === previous.version + 1
    ? []
    : [
        {
          path: 'version',
          value: String(bundle.version),
          expected: `${previous.version + 1}, the version after the previous bundle`,
        },
      ];

/** Checks references and names within a bundle, and the changes against the bundle that it replaces. */
export const checkConsistency = (
  bundle: Bundle,
  previous: Bundle | undefined,
): ValidationIssue[] => [
  ...duplicateNameIssues('domains', bundle.domains),
  ...duplicateNameIssues('callers', bundle.callers),
  ...duplicateNameIssues('models', bundle.models),
  ...duplicateNameIssues('adapters', bundle.adapters),
  ...duplicateNameIssues('services', bundle.services),
  ...bundle.services.flatMap(({ calls }, index) =>
    duplicateNameIssues(`services[${index}].calls`, calls),
  ),
  ...keyHashIssues(bundle),
  ...callerIssues(bundle),
  ...adapterIssues(bundle),
  ...calendarIssues(bundle),
  ...firstBundleIssues(bundle),
  ...(previous === undefined
    ? []
    : [...versionIssues(bundle, previous), ...domainIssues(bundle, previous)]),
];

/**
 * Parsing and validation of the platform's list of VMs.
 *
 * @packageDocumentation
 */
import type {Result} from 'neverthrow';
import {z} from 'zod';
import type {DocumentError} from './input_issue.js';
import {
  checkText,
  closedObject,
  identifier,
  ipAddress,
  labelName,
  oneOf,
  wholeNumber,
  type RuleIssue,
} from './schema_parts.js';
import type {ListedVm, VmListDocument} from './types.js';

const vmSchema = closedObject({
  id: identifier(),
  role: oneOf(['entry', 'target']),
  service: labelName().optional(),
  host: ipAddress(),
  port: wholeNumber(1, 65_535),
  failureDomain: identifier(),
  state: oneOf(['live', 'leaving']),
});

const vmListSchema = closedObject({
  vms: z.array(vmSchema, {error: 'an array of VMs'}),
});

/**
 * Parses and validates the list of VMs. Pure.
 *
 * @param body - JSON text with comments, at most 1 MiB
 * @returns the list, or an error with all issues
 *
 * @example
 * ```ts
 * const parsed = parseVmListDocument('{"vms": []}');
 * ```
 */
export function parseVmListDocument(
  body: string,
): Result<VmListDocument, DocumentError> {
  return checkText(body, vmListSchema, [checkIds, checkServices])
    .map(parsed => ({vms: parsed.vms.map(toListedVm)}))
    .mapErr(issues => ({type: 'invalid-document', name: 'vms', issues}));
}

/** Checks that each id occurs once, since health and load are kept by id. */
function checkIds(value: unknown): readonly RuleIssue[] {
  const seen = new Set<unknown>();
  return listedEntries(value).flatMap((vm, index) => {
    const known = seen.has(vm['id']);
    seen.add(vm['id']);
    return known && vm['id'] !== undefined
      ? [{path: ['vms', index, 'id'], expected: 'an id that occurs once'}]
      : [];
  });
}

/** Checks that targets belong to a service and entry VMs to none. */
function checkServices(value: unknown): readonly RuleIssue[] {
  return listedEntries(value).flatMap((vm, index): readonly RuleIssue[] => {
    const path = ['vms', index, 'service'];
    if (vm['role'] === 'target' && vm['service'] === undefined) {
      return [{path, expected: 'the service of the target'}];
    }
    return vm['role'] === 'entry' && vm['service'] !== undefined
      ? [{path, expected: 'no service on an entry VM'}]
      : [];
  });
}

/** Returns the entries of an unchecked list; non-objects become empty. */
function listedEntries(
  value: unknown,
): readonly Readonly<Record<string, unknown>>[] {
  const vms = (value as {vms?: unknown} | null)?.vms;
  if (!Array.isArray(vms)) {
    return [];
  }
  return vms.map((vm: unknown) =>
    typeof vm === 'object' && vm !== null
      ? (vm as Record<string, unknown>)
      : {},
  );
}

/** Converts an entry; makes the optional service an explicit field. */
function toListedVm(vm: z.infer<typeof vmSchema>): ListedVm {
  return {...vm, service: vm.service};
}

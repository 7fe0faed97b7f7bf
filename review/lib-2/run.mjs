/** Runs a case with its record, its time limit and its exit status. */
import {appendFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout} from 'node:timers';

/** Longest run of a case, in milliseconds. */
const MAX_RUN_MS = 110_000;

/** Exit statuses. */
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/** Whether the disruption is made; not with `TROUBLE=0`. */
export const hasTrouble = process.env.TROUBLE !== '0';

/**
 * Runs a case.
 *
 * @param folder - folder of the case
 * @param body - gets a function that writes a line of the record, and one that
 *     registers what to close; returns what broke the rule
 */
export async function runCase(folder, body) {
  const path = `${folder}/record.txt`;
  writeFileSync(path, `trouble ${hasTrouble ? 'on' : 'off'}\n`);
  const write = line => appendFileSync(path, `${line}\n`);
  const closers = [];
  const closeAll = async () => {
    for (const close of closers.reverse()) {
      await close();
    }
  };
  setTimeout(() => {
    write('the case took too long');
    void closeAll().finally(() => process.exit(NOT_RUN));
  }, MAX_RUN_MS).unref();
  let status = NOT_RUN;
  try {
    const violations = await body(write, close => closers.push(close));
    violations.forEach(line => write(`BROKEN ${line}`));
    status = violations.length > 0 ? BROKEN : HELD;
    const result = `${violations.length} violations`;
    write(result);
    process.stdout.write(`${result}\n`);
  } catch (error) {
    write(`not run: ${error.stack}`);
    process.stderr.write(`${error.stack}\n`);
  }
  await closeAll();
  process.exit(status);
}

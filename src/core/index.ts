/**
 * Primitives shared by all modules: clocks, random numbers, hashing and the
 * verdict on a request.
 *
 * @packageDocumentation
 */
export {Clock, ManualClock, type InstantMs} from './clock.js';
export {PauseDetector, type Pause} from './pause_detector.js';
export {RandomSource, SeededRandom} from './random_source.js';
export {hashBytes, hashText, rendezvousRank} from './rendezvous.js';
export {SystemClock} from './system_clock.js';
export {combineVerdicts, type Verdict} from './verdict.js';

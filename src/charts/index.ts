/**
 * State charts in JSON files, compiled to transition tables.
 *
 * @packageDocumentation
 */
export {
  Chart,
  ChartError,
  compileChart,
  type ChartFile,
  type ChartState,
} from './compile_chart.js';

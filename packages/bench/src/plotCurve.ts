/** Plots detection time over false removals as SVG. */
import { parse, View } from 'vega';
import type { TopLevelSpec } from 'vega-lite';
import { compile } from 'vega-lite';

export interface CurvePoint {
  readonly deployment: string;
  readonly steerScore: number;
  readonly detectionSeconds: number;
  readonly falseRemovals: number;
}

const WIDTH_PIXELS = 520;
const HEIGHT_PIXELS = 320;

/** One curve for each deployment; the label of a point is its steer score threshold. */
export default function plotCurve(points: readonly CurvePoint[]): Promise<string> {
  const position = {
    x: {
      field: 'falseRemovals',
      type: 'quantitative',
      title: 'false removals per 1,000 target hours, steering included',
    },
    y: { field: 'detectionSeconds', type: 'quantitative', title: 'detection time, p50 (s)' },
  } as const;
  const spec: TopLevelSpec = {
    $schema: 'https://vega.github.io/schema/vega-lite/v5.json',
    width: WIDTH_PIXELS,
    height: HEIGHT_PIXELS,
    data: { values: points.map((point) => ({ ...point })) },
    layer: [
      {
        mark: { type: 'line', point: true },
        encoding: {
          ...position,
          color: { field: 'deployment', type: 'nominal' },
          order: { field: 'steerScore', type: 'quantitative' },
        },
      },
      {
        mark: { type: 'text', dx: 14, dy: -6 },
        encoding: { ...position, text: { field: 'steerScore', type: 'quantitative' } },
      },
    ],
  };
  return new View(parse(compile(spec).spec), { renderer: 'none' }).toSVG();
}

#!/usr/bin/env python3
"""Draws what each mechanism is worth as an SVG, from the CSV files of ablation.py.

usage: tools/ablation_plot.py NAME=CSV [NAME=CSV ...] > FILE.svg

A row is a mechanism, a point a site: the mean worth without the mechanism less
the worth with it, as a bar of one standard error to each side.  Exit status 2
on bad input.
"""
import csv
import sys
from xml.sax.saxutils import escape

import ablation

LEFT, WIDTH, ROW, TOP = 330, 420, 20, 40
SPAN = 0.07  # worth at the edges of the plot
COLOURS = ("#1b6ca8", "#c8553d", "#4f772d", "#7b2d8b")


def read(path):
    """{mechanism: [differences]} of one CSV file."""
    try:
        with open(path, encoding="utf-8", newline="") as text:
            rows = list(csv.DictReader(text))
        worth = {(r["without"], r["day"], r["seed"]): float(r["worth"]) for r in rows}
    except (OSError, KeyError, ValueError) as error:
        raise ablation.InputError(f"{path}: {error!r}: not a table of ablation.py") from error
    found = {}
    for (name, day, seed), value in worth.items():
        if name != ablation.ALL_ON:
            found.setdefault(name, []).append(value - worth[ablation.ALL_ON, day, seed])
    return found


def x_of(worth):
    return LEFT + WIDTH / 2 * (1 + max(-1, min(1, worth / SPAN)))


def draw(sites):
    names = sorted({n for _, rows in sites for n in rows},
                   key=lambda n: sum(ablation.mean_and_error(rows[n])[0] for _, rows in sites if n in rows))
    height = TOP + ROW * len(names) + 30
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{LEFT + WIDTH + 20}" height="{height}" '
           'font-family="sans-serif" font-size="12">',
           '<rect width="100%" height="100%" fill="white"/>']
    for tick in (-0.06, -0.04, -0.02, 0, 0.02, 0.04, 0.06):
        out.append(f'<line x1="{x_of(tick):.1f}" x2="{x_of(tick):.1f}" y1="{TOP - 10}" y2="{height - 20}" '
                   f'stroke="{"#555" if tick == 0 else "#ddd"}"/>')
        out.append(f'<text x="{x_of(tick):.1f}" y="{height - 6}" text-anchor="middle">{tick:+.2f}</text>')
    for s, (site, _) in enumerate(sites):
        out.append(f'<text x="{LEFT + 130 * s}" y="18" fill="{COLOURS[s % len(COLOURS)]}">{escape(site)}</text>')
    for i, name in enumerate(names):
        y = TOP + ROW * i
        out.append(f'<text x="{LEFT - 8}" y="{y + 8}" text-anchor="end">{escape(name)}</text>')
        for s, (_, rows) in enumerate(sites):
            if name not in rows:
                continue
            mean, error = ablation.mean_and_error(rows[name])
            colour, at = COLOURS[s % len(COLOURS)], y + 5 * s
            out.append(f'<line x1="{x_of(mean - error):.1f}" x2="{x_of(mean + error):.1f}" y1="{at}" y2="{at}" '
                       f'stroke="{colour}" stroke-width="2"/>')
            out.append(f'<circle cx="{x_of(mean):.1f}" cy="{at}" r="3" fill="{colour}"/>')
    return "\n".join(out + ["</svg>"])


def main():
    if len(sys.argv) < 2 or any("=" not in a for a in sys.argv[1:]):
        print(__doc__, file=sys.stderr)
        return 2
    try:
        sites = [(a.split("=", 1)[0], read(a.split("=", 1)[1])) for a in sys.argv[1:]]
    except ablation.InputError as error:
        print(f"ablation_plot: {error}", file=sys.stderr)
        return 2
    print(draw(sites))
    return 0


if __name__ == "__main__":
    sys.exit(main())

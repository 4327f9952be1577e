/**
 * Writes a time line as text, as JSON lines, or as an HTML page that needs nothing else.
 *
 * @module
 */
import type { ActionEvent } from '@plumstage/common'
import type { MissingEvents, Timeline } from './timeline.js'

/** Form of the output. */
export type TimelineFormat = 'text' | 'json' | 'html'

export const TIMELINE_FORMATS: readonly TimelineFormat[] = ['text', 'json', 'html']

/** Writes a time line. */
export function formatTimeline (timeline: Timeline, format: TimelineFormat): string {
  switch (format) {
    case 'text': return [...timeline.events.map(formatLine), ...timeline.missing.map(formatGap)].join('\n') + '\n'
    case 'json': return timeline.events.map(event => JSON.stringify(event)).join('\n') + '\n'
    case 'html': return formatHtml(timeline)
  }
}

function formatLine (event: ActionEvent): string {
  const subject = event.attempt ?? event.request ?? ''
  return `${new Date(event.time).toISOString()} ${event.process.padEnd(12)} ${event.kind.padEnd(24)} ${subject} ${formatAttributes(event)}`.trimEnd()
}

function formatAttributes (event: ActionEvent): string {
  return Object.entries(event.attributes ?? {}).filter(([, value]) => value !== undefined && value !== '').map(([name, value]) => `${name}=${String(value)}`).join(' ')
}

function formatGap (gap: MissingEvents): string {
  return `missing: events ${gap.afterSequence + 1} to ${gap.beforeSequence - 1} of ${gap.process} (${gap.incarnation})`
}

function formatHtml (timeline: Timeline): string {
  const rows = timeline.events.map(event => ({
    time: new Date(event.time).toISOString(),
    process: event.process,
    kind: event.kind,
    request: event.request ?? '',
    attempt: event.attempt ?? '',
    attributes: formatAttributes(event)
  }))
  const data = JSON.stringify(rows).replaceAll('<', '\\u003c')
  const missing = timeline.missing.map(gap => `<p class="missing">${escapeText(formatGap(gap))}</p>`).join('')
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>plumstage time line</title>
<style>
body { font: 14px/1.4 system-ui, sans-serif; margin: 1.5rem; color: #1c1c1c; background: #fff; }
form { display: flex; gap: 1rem; flex-wrap: wrap; margin-bottom: 1rem; position: sticky; top: 0; background: #fff; padding: .5rem 0; }
input { font: inherit; padding: .25rem .5rem; width: 16rem; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: .2rem .75rem .2rem 0; border-bottom: 1px solid #e4e4e4; vertical-align: top; font-variant-numeric: tabular-nums; }
button.request { font: inherit; border: 0; background: none; color: #0b57a4; cursor: pointer; padding: 0; }
.missing { color: #a11; }
</style>
</head>
<body>
<h1>plumstage time line</h1>
<form>
<label>Request <input id="request" placeholder="all requests"></label>
<label>Process <input id="process" placeholder="all processes"></label>
<label>Kind <input id="kind" placeholder="all kinds"></label>
<output id="count"></output>
</form>
${missing}
<table>
<thead><tr><th>Time</th><th>Process</th><th>Kind</th><th>Request</th><th>Attempt</th><th>Attributes</th></tr></thead>
<tbody></tbody>
</table>
<script>
const rows = ${data}
const fields = ['request', 'process', 'kind']
const body = document.querySelector('tbody')
function show () {
  const wanted = Object.fromEntries(fields.map(field => [field, document.getElementById(field).value.trim()]))
  const shown = rows.filter(row => fields.every(field => wanted[field] === '' || row[field].includes(wanted[field])))
  body.replaceChildren(...shown.map(createRow))
  document.getElementById('count').textContent = shown.length + ' of ' + rows.length + ' events'
}
function createRow (row) {
  const line = document.createElement('tr')
  for (const field of ['time', 'process', 'kind', 'request', 'attempt', 'attributes']) {
    const cell = line.insertCell()
    if (field !== 'request' || row.request === '') { cell.textContent = row[field]; continue }
    const button = document.createElement('button')
    button.className = 'request'
    button.type = 'button'
    button.textContent = row.request
    button.onclick = () => { document.getElementById('request').value = row.request; show() }
    cell.append(button)
  }
  return line
}
for (const field of fields) document.getElementById(field).addEventListener('input', show)
document.querySelector('form').addEventListener('submit', event => event.preventDefault())
show()
</script>
</body>
</html>
`
}

function escapeText (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;')
}

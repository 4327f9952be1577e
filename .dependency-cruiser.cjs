/** Modules that contain pure decision logic; they must not do I/O. */
const DECISION_MODULES = '^packages/gateway/src/(admission/(dispatcher\\.|fairQueue|suspectIsolation|retryBudget|waitEstimator)|routing/|attempts/(attemptOutcome|requestLifecycle|eventScanner|streamedResponse)|claims/(claimPolicy|claimRecord)|upstreams/(upstream|upstreamTable)\\.|membership/(member|membershipTable)|configuration/configurationState|recovery/(.*(Planner|Table)|isolationShare|cacheTransfer))|^packages/coordination/src/duties/dutyLease|^packages/serving/src/(admission|routing|quotas|recovery|upstreams/(upstream|upstreamTable|upstreamHealth|listedUpstream)\\.|links/(diverseChoice|probeRotation|upstreamLinks)\\.|relay/(relayPeers|relayCandidates)|fleet/(demandMeter|fleetPlanner)|attempts/(attemptPolicy|eventSplitter|responseRelay)|callers/(rejection|requestAdmission)|usage/(usageLedger|committedCounts|eraStart)|deployment/deploymentView|peers/peerTable|stopping/(stopSchedule|requestDurations|durationEstimate)|servingState)'

// Import rules in addition to those that follow from the dependencies in each package.json.
module.exports = {
  forbidden: [
    { name: 'no-cycles', severity: 'error', from: { pathNot: '/dist/' }, to: { circular: true, dependencyTypesNot: ['type-only'] } },
    { name: 'common-imports-no-other-package', severity: 'error', from: { path: '^packages/common' }, to: { path: '^packages/(?!common)' } },
    { name: 'records-do-not-import-coordination', severity: 'error', from: { path: '^packages/records' }, to: { path: '^packages/(coordination|gateway|operator|standins|load|timeline)' } },
    { name: 'coordination-does-not-import-its-users', severity: 'error', from: { path: '^packages/coordination' }, to: { path: '^packages/(gateway|operator|standins|load|timeline)' } },
    { name: 'standins-only-in-embedded-mode', severity: 'error', from: { path: '^packages/gateway/src', pathNot: '^packages/gateway/src/embedded' }, to: { path: '^packages/standins' } },
    { name: 'embedded-mode-only-from-the-binary', severity: 'error', from: { path: '^packages/gateway/src', pathNot: '^packages/gateway/src/(bin|embedded)' }, to: { path: '^packages/gateway/src/embedded' } },
    { name: 'operator-does-not-import-the-gateway', severity: 'error', from: { path: '^packages/operator' }, to: { path: '^packages/(gateway|standins|load)' } },
    { name: 'timeline-imports-only-common', severity: 'error', from: { path: '^packages/timeline' }, to: { path: '^packages/(?!timeline|common)' } },
    { name: 'protocol-only-in-adapters', severity: 'error', from: { path: '^packages/(gateway|operator)', pathNot: '^packages/gateway/src/(membership/peer|recovery/handover)' }, to: { path: '^packages/protocol' } },
    { name: 'platform-only-from-the-binary', severity: 'error', from: { path: '^packages/', pathNot: '^packages/entry' }, to: { path: '^platform/' } },
    { name: 'platform-imports-no-applications', severity: 'error', from: { path: '^platform/' }, to: { path: '^packages/(gateway|operator|standins|load|timeline|entry)' } },
    { name: 'decision-modules-do-no-io', severity: 'error', from: { path: DECISION_MODULES }, to: { path: '(^node:|node_modules/(undici|hono|@hono|@connectrpc))|^(net|http|http2|fs|timers|dgram)$' } }
  ],
  options: {
    doNotFollow: { path: '(node_modules|/dist/)' },
    exclude: { path: '/generated/' },
    tsPreCompilationDeps: true,
    enhancedResolveOptions: { exportsFields: ['exports'], conditionNames: ['import', 'types', 'default'], mainFields: ['types', 'main'] }
  }
}

package rollout

// canaryShare is what a new version gets for most of the duration: enough calls for a verdict, a third
// of the usual exposure.
const canaryShare = 30

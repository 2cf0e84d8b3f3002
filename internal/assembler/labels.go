package assembler

// Log fields and metric tags that several files use.
const (
	labelCause   = "cause"
	labelEra     = "era"
	labelFrom    = "from"
	labelPeer    = "peer"
	labelReplica = "replica"
	labelService = "service"
	labelVersion = "version"
)

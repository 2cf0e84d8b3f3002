package assembler

// Log fields and metric tags that several files use.
const (
	labelCause   = "cause"
	labelReplica = "replica"
	labelVersion = "version"
)

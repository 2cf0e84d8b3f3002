package assembler

// The fields of log lines and the tags of metrics that several parts of a process write.
const (
	labelCause   = "cause"
	labelReplica = "replica"
)

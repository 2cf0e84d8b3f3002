package assembler

// labelCause is the field of log lines and the tag of metrics that says why.
const labelCause = "cause"

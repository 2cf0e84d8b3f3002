// Package load simulates whole workloads in virtual time and compares the
// placement, admission and retry code with simpler policies under the same seed.
// A simulated replica is an admission controller, a directory and a small prefix
// cache; every decision is made by the code that entries and agents run.
package load

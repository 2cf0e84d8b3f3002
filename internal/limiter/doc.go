// Package limiter reads what comes from other processes up to a bound.
//
// A reader that only stops at its bound, such as io.LimitReader, makes a text that is too long look
// like a whole one. ReadAll and Decode return an error instead, and a Client
// one for answers that aren't whole or valid.
package limiter

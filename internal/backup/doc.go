// Package backup reads, checks, backs up and restores the data folder of a control instance that is not running.
package backup

// Package backup backs up the data folder of a control instance that is not running, and restores a data folder from
// a backup.
package backup

// Package document reads the YAML documents with which operators edit several branches of the tree at once.
//
// A document has one top-level key, "branches". It maps the path of a branch to the settings to change there:
//
//	branches:
//	  /services/rota-board:
//	    call.timeout: 2s
//	    retry.limit: null      # unset
//	  /services/old-board: null # removed with all beneath it
//
// A setting or branch that the document does not name stays as it is. The package is pure: it does no I/O.
package document

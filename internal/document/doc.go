// Package document parses YAML documents, with which operators edit several branches of the tree in one step.
//
// A document has one top-level key, "branches". It maps the path of a branch to the settings to change there:
//
//	branches:
//	  /services/rota-board:
//	    call.timeout: 2s
//	    retry.limit: null      # unset
//	  /services/old-board: null # removed, together with its descendants
//
// Settings and branches that the document does not name stay unchanged. The package does no I/O.
package document

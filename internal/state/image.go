package state

import (
	"sort"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

func viewFromImage(image *apiv1.StateImage) (*View, error) {
	restored, err := tree.FromMessages(image.Branches)
	if err != nil {
		return nil, errors.WithMessage(err, "restore state")
	}
	view := emptyView()
	view.Version = image.Version
	view.Term = image.Term
	view.Tree = restored
	if view.history, err = newHistory(image.History); err != nil {
		return nil, errors.WithMessage(err, "restore state")
	}
	view.assignments = image.Assignments
	view.document = image.Document
	for _, move := range image.Moves {
		view.moves[move.Id] = move
		view.moveOrder = append(view.moveOrder, move.Id)
	}
	for _, pair := range image.ServiceVersions {
		view.versions[pair.Service] = pair.Version
	}
	return view, nil
}

// versionMessages returns the versions of services as messages, sorted by service so that equal states are encoded to
// equal bytes.
func versionMessages(versions map[string]string) []*apiv1.ServiceVersion {
	list := make([]*apiv1.ServiceVersion, 0, len(versions))
	for service, version := range versions {
		list = append(list, &apiv1.ServiceVersion{Service: service, Version: version})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Service < list[j].Service })
	return list
}

package document

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParse checks that Parse returns for any text either a document or problems that name the file, never both.
func FuzzParse(f *testing.F) {
	f.Add([]byte("branches:\n  /:\n    call.timeout: 2s\n"))
	f.Add([]byte("branches:\n  /services/rota: {}\n  /services/rota/routes/lookup:\n    route.path: /rota/*\n"))
	f.Add([]byte("branches: [1, 2]"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, problems := Parse("file.yaml", data)
		if doc != nil {
			require.Empty(t, problems)
			return
		}
		require.NotEmpty(t, problems)
		for _, problem := range problems {
			require.Contains(t, problem.String(), "file.yaml")
		}
	})
}

package verb

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// row is one line of a table printed by printTable.
type row struct {
	name  string
	value any
}

// printTable writes rows as two aligned columns.
func printTable(w io.Writer, rows []row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		if _, err := fmt.Fprintf(t, "%s\t%v\n", r.name, r.value); err != nil {
			return err
		}
	}
	return t.Flush()
}

package opcli

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"unicode"

	"kumquathinge/core"
)

const columnGap = 2 // characters

// show prints val as JSON, or calls tab if the output is a table.
func (apl *app) show(val any, tab func(wri io.Writer)) error {
	if apl.Output != outputJSON {
		tab(apl.out)
		return nil
	}
	enc := json.NewEncoder(apl.out)
	enc.SetIndent("", "  ")
	return enc.Encode(val)
}

// table prints rows below their headings in aligned columns.
func table(wri io.Writer, head []string, rows [][]string) {
	tab := tabwriter.NewWriter(wri, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(tab, strings.Join(head, "\t"))
	for _, row := range rows {
		for idx := range row {
			row[idx] = orDash(clean(row[idx]))
		}
		_, _ = fmt.Fprintln(tab, strings.Join(row, "\t"))
	}
	_ = tab.Flush()
}

func printf(wri io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(wri, format, args...)
}

// clean replaces what is not printable, so that no text drives the terminal.
func clean(txt string) string {
	return strings.Map(func(chr rune) rune {
		if chr != ' ' && !unicode.IsPrint(chr) {
			return '?'
		}
		return chr
	}, txt)
}

func orDash(txt string) string {
	if txt == "" {
		return "-"
	}
	return txt
}

func offsetText(off core.Offset) string {
	if off == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(off), 10)
}

func codeText(cod core.Code) string {
	if cod == core.CodeOK {
		return "ok"
	}
	return strconv.Itoa(int(cod))
}

func yesNo(val bool) string {
	if val {
		return "yes"
	}
	return "no"
}

func joined[T ~string](vals []T) string {
	out := make([]string, len(vals))
	for idx, val := range vals {
		out[idx] = string(val)
	}
	return strings.Join(out, ",")
}

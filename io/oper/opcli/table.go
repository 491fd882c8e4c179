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

// printResult prints val as JSON, or calls writeText if the output format is
// table.
func (app *cliApp) printResult(val any, writeText func(w io.Writer)) error {
	if app.Output != outputJSON {
		writeText(app.stdout)
		return nil
	}
	enc := json.NewEncoder(app.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(val)
}

// writeTable prints the header and the rows in aligned columns. Empty cells
// become dashes.
func writeTable(w io.Writer, header []string, rows [][]string) {
	tw := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(tw, strings.Join(header, "\t"))
	for _, row := range rows {
		for idx := range row {
			row[idx] = orDash(replaceUnprintable(row[idx]))
		}
		_, _ = fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	_ = tw.Flush()
}

func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

// replaceUnprintable replaces unprintable characters by question marks, so that
// data from a server can't send control sequences to the terminal.
func replaceUnprintable(text string) string {
	return strings.Map(func(r rune) rune {
		if r != ' ' && !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, text)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func offsetText(offset core.Offset) string {
	if offset == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(offset), 10)
}

func codeText(code core.Code) string {
	if code == core.CodeOK {
		return "ok"
	}
	return strconv.Itoa(int(code))
}

func yesNo(val bool) string {
	if val {
		return "yes"
	}
	return "no"
}

func joinNames[T ~string](vals []T) string {
	out := make([]string, len(vals))
	for idx, val := range vals {
		out[idx] = string(val)
	}
	return strings.Join(out, ",")
}

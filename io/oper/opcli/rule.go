package opcli

import (
	"io"

	"github.com/valyala/fasthttp"

	"kumquathinge/io/oper"
)

type ruleCommand struct {
	app  *cliApp
	ID   string `long:"id" value-name:"UUID" description:"ID of the change, to send one again whose outcome is unknown"`
	Args struct {
		Number uint16 `positional-arg-name:"NUMBER" required:"yes"`
	} `positional-args:"yes"`
}

// Execute turns on a rule.
func (cmd *ruleCommand) Execute([]string) error {
	rule := oper.RuleChange{ID: changeFlags{ID: cmd.ID}.changeID(), Number: cmd.Args.Number}
	var receipt oper.Receipt
	err := cmd.app.client.sendChange(fasthttp.MethodPost, "/v1/rules", rule.ID, rule, &receipt)
	if err != nil {
		return err
	}
	return cmd.app.printResult(receipt, func(w io.Writer) { writeReceipt(w, receipt) })
}

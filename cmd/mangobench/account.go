package main

import (
	"context"
	"io"
	"os"

	"github.com/joomcode/errorx"

	"mangoloft/account"
)

type accountCommand struct {
	Logs []string `arg:"positional" help:"log files of instances; standard input if none is given"`
}

func (c *accountCommand) run(context.Context, string) error {
	logs := io.Reader(os.Stdin)
	if len(c.Logs) > 0 {
		var files []io.Reader
		for _, name := range c.Logs {
			file, err := os.Open(name)
			if err != nil {
				return errorx.Decorate(err, "open the log")
			}
			defer file.Close()
			files = append(files, file)
		}
		logs = io.MultiReader(files...)
	}
	summary, err := account.Read(logs)
	if err != nil {
		return err
	}
	return summary.Print(os.Stdout)
}

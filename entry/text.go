package entry

import "strconv"

func itoa(num int) string { return strconv.Itoa(num) }

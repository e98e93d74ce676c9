package strictyaml

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

// Scalar is a value with its own text form, the notation, such as "6s". The
// pointer to a type implements Scalar.
type Scalar interface {
	// Parse sets the value from its notation.
	Parse(text string) error
	// Text returns the notation. Parse(Text()) gives the same value.
	Text() string
	// Quantity returns the value as a number for comparison with bounds.
	Quantity() float64
	// IsNumber reports whether the notation is a plain YAML number.
	IsNumber() bool
	// Example returns a valid value for error messages.
	Example() string
}

// Duration is a length of time with a unit, for example "6s" or "1h30m".
type Duration time.Duration

// Parse implements Scalar.
func (d *Duration) Parse(text string) error {
	value, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		return errors.New("is not a duration with a unit")
	}
	*d = Duration(value)
	return nil
}

// Text implements Scalar.
func (d Duration) Text() string {
	text := time.Duration(d).String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// Quantity implements Scalar.
func (d Duration) Quantity() float64 { return float64(d) }

// IsNumber implements Scalar.
func (d Duration) IsNumber() bool { return false }

// Example implements Scalar.
func (d Duration) Example() string { return `"6s"` }

// Bytes is a size with a binary unit, for example "4GiB".
type Bytes int64

var byteUnits = []struct {
	name string
	size int64
}{{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// Parse implements Scalar.
func (b *Bytes) Parse(text string) error {
	for _, unit := range byteUnits {
		digits, found := strings.CutSuffix(text, unit.name)
		if !found {
			continue
		}
		count, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || count < 0 || count > math.MaxInt64/unit.size {
			break
		}
		*b = Bytes(count * unit.size)
		return nil
	}
	return errors.New("is not a whole number with one of the units B, KiB, MiB, GiB, TiB")
}

// Text implements Scalar.
func (b Bytes) Text() string {
	for _, unit := range byteUnits {
		if b != 0 && int64(b)%unit.size == 0 {
			return strconv.FormatInt(int64(b)/unit.size, 10) + unit.name
		}
	}
	return "0B"
}

// Quantity implements Scalar.
func (b Bytes) Quantity() float64 { return float64(b) }

// IsNumber implements Scalar.
func (b Bytes) IsNumber() bool { return false }

// Example implements Scalar.
func (b Bytes) Example() string { return `"4GiB"` }

// Fraction is a number from 0 to 1.
type Fraction float64

// Parse implements Scalar.
func (f *Fraction) Parse(text string) error {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value <= 1) {
		return errors.New("is not a fraction from 0 to 1")
	}
	*f = Fraction(math.Abs(value)) // "-0" becomes 0
	return nil
}

// Text implements Scalar.
func (f Fraction) Text() string { return strconv.FormatFloat(float64(f), 'f', -1, 64) }

// Quantity implements Scalar.
func (f Fraction) Quantity() float64 { return float64(f) }

// IsNumber implements Scalar.
func (f Fraction) IsNumber() bool { return true }

// Example implements Scalar.
func (f Fraction) Example() string { return "0.25" }

// Cores is an amount of CPU in thousandths of a core, written in cores, for
// example 0.5.
type Cores int64

// maxCores bounds one amount so that sums over many branches cannot overflow.
const maxCores = 1e9

// Parse implements Scalar.
func (c *Cores) Parse(text string) error {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value <= maxCores) {
		return errors.New("is not a number of cores")
	}
	milli := math.Round(value * 1000)
	if math.Abs(milli-value*1000) > 1e-6*max(1, milli) {
		return errors.New("is finer than a thousandth of a core")
	}
	*c = Cores(milli)
	return nil
}

// Text implements Scalar.
func (c Cores) Text() string { return strconv.FormatFloat(float64(c)/1000, 'f', -1, 64) }

// Quantity implements Scalar.
func (c Cores) Quantity() float64 { return float64(c) / 1000 }

// IsNumber implements Scalar.
func (c Cores) IsNumber() bool { return true }

// Example implements Scalar.
func (c Cores) Example() string { return "0.5" }

// TimeOfDay is a time of day in UTC in minutes after midnight, for example
// "22:30".
type TimeOfDay int

// Parse implements Scalar.
func (t *TimeOfDay) Parse(text string) error {
	value, err := time.Parse("15:04", text)
	if err != nil || len(text) != len("15:04") {
		return errors.New("is not a time of day from 00:00 to 23:59")
	}
	*t = TimeOfDay(value.Hour()*60 + value.Minute())
	return nil
}

// Text implements Scalar.
func (t TimeOfDay) Text() string {
	return time.Unix(int64(t)*60, 0).UTC().Format("15:04")
}

// Quantity implements Scalar.
func (t TimeOfDay) Quantity() float64 { return float64(t) }

// IsNumber implements Scalar.
func (t TimeOfDay) IsNumber() bool { return false }

// Example implements Scalar.
func (t TimeOfDay) Example() string { return `"22:30"` }

// Instant is a point in time with its zone, for example
// "2027-01-15T04:00:00Z".
type Instant int64

// Parse implements Scalar.
func (i *Instant) Parse(text string) error {
	value, err := time.Parse(time.RFC3339, text)
	if err != nil || value.Year() < 1970 || value.Year() > 2200 {
		return errors.New("is not a time with a zone between 1970 and 2200")
	}
	*i = Instant(value.UnixNano())
	return nil
}

// Text implements Scalar.
func (i Instant) Text() string { return time.Unix(0, int64(i)).UTC().Format(time.RFC3339Nano) }

// Quantity implements Scalar.
func (i Instant) Quantity() float64 { return float64(i) }

// IsNumber implements Scalar.
func (i Instant) IsNumber() bool { return false }

// Example implements Scalar.
func (i Instant) Example() string { return `"2027-01-15T04:00:00Z"` }

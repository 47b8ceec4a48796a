package dev.jackdawdale.bench

import java.util.Locale

/**
 * One measured value of a benchmark run.
 *
 * @property variant the mechanism or baseline that was measured
 * @property unit unit of [value], for example `ms` or `1/s`
 */
internal data class Figure(
    val measure: String,
    val variant: String,
    val value: Double,
    val unit: String,
    val seed: Long
)

/** The line that `bin/bench` prints for the figure. */
internal fun Figure.line(): String {
    val number = String.format(Locale.ROOT, "%.4f", value)
    return "measure=$measure variant=$variant value=$number unit=$unit seed=$seed"
}

package dev.jackdawdale.settings

/** Why a settings file was rejected: where the error is and what was expected. */
internal sealed interface SettingsError {
    val file: String

    /** Line number from 1, or null when a line is missing. */
    val line: Int?

    data class Unreadable(override val file: String, val reason: String) : SettingsError {
        override val line: Int? = null
    }

    data class UnknownSection(
        override val file: String,
        override val line: Int?,
        val section: String,
        val known: List<String>
    ) : SettingsError

    data class UnknownKey(
        override val file: String,
        override val line: Int?,
        val section: String,
        val key: String,
        val known: List<String>
    ) : SettingsError

    data class RepeatedKey(
        override val file: String,
        override val line: Int?,
        val section: String,
        val key: String
    ) : SettingsError

    data class MissingKey(
        override val file: String,
        val section: String,
        val key: String,
        val expected: String
    ) : SettingsError {
        override val line: Int? = null
    }

    /** The number is followed by a unit; the unit is fixed by the key. */
    data class UnexpectedUnit(
        override val file: String,
        override val line: Int?,
        val section: String,
        val key: String,
        val value: String,
        val expected: String
    ) : SettingsError

    data class InvalidValue(
        override val file: String,
        override val line: Int?,
        val section: String,
        val key: String,
        val value: String,
        val expected: String
    ) : SettingsError

    /** The values are valid on their own but contradict each other. */
    data class Conflict(
        override val file: String,
        override val line: Int?,
        val problem: String,
        val expected: String
    ) : SettingsError
}

/** One line for operators: file and line, error, and what was expected. */
internal fun SettingsError.describe(): String {
    val location = if (line == null) file else "$file:$line"
    return "$location: ${problem()}"
}

private fun SettingsError.problem(): String = when (this) {
    is SettingsError.Unreadable -> "cannot be read: $reason"
    is SettingsError.UnknownSection ->
        "section [$section] does not exist; sections are ${known.joinToString()}"
    is SettingsError.UnknownKey ->
        "key \"$key\" does not exist in [$section]; keys are ${known.joinToString()}"
    is SettingsError.RepeatedKey -> "[$section] $key is set twice; keep one line"
    is SettingsError.MissingKey -> "[$section] $key is missing; expected $expected"
    is SettingsError.UnexpectedUnit -> "[$section] $key = $value has a unit; expected $expected"
    is SettingsError.InvalidValue -> "[$section] $key = $value is not valid; expected $expected"
    is SettingsError.Conflict -> "$problem; $expected"
}

internal sealed interface SettingsResult {
    data class Loaded(val settings: Settings) : SettingsResult

    /** All errors that were found, in order of their lines. */
    data class Rejected(val errors: List<SettingsError>) : SettingsResult
}

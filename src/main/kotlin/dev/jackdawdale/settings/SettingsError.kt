package dev.jackdawdale.settings

/** Why a settings file was refused: where the fault is and what would be right. */
internal sealed interface SettingsError {
    val file: String

    /** Line from 1, or null when the fault is the absence of a line. */
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

    /** The number has a unit that the key does not take. */
    data class BadUnit(
        override val file: String,
        override val line: Int?,
        val section: String,
        val key: String,
        val value: String,
        val expected: String
    ) : SettingsError

    data class BadValue(
        override val file: String,
        override val line: Int?,
        val section: String,
        val key: String,
        val value: String,
        val expected: String
    ) : SettingsError

    /** Each value is right by itself, but they cannot hold together. */
    data class Clash(
        override val file: String,
        override val line: Int?,
        val problem: String,
        val expected: String
    ) : SettingsError
}

/** One line for operators: place, fault, and what would be right. */
internal fun SettingsError.describe(): String {
    val place = if (line == null) file else "$file:$line"
    return "$place: ${problem()}"
}

private fun SettingsError.problem(): String = when (this) {
    is SettingsError.Unreadable -> "cannot be read: $reason"
    is SettingsError.UnknownSection ->
        "section [$section] does not exist; sections are ${known.joinToString()}"
    is SettingsError.UnknownKey ->
        "key \"$key\" does not exist in [$section]; keys are ${known.joinToString()}"
    is SettingsError.RepeatedKey -> "[$section] $key is set twice; keep one line"
    is SettingsError.MissingKey -> "[$section] $key is missing; expected $expected"
    is SettingsError.BadUnit -> "[$section] $key = $value has a unit; expected $expected"
    is SettingsError.BadValue -> "[$section] $key = $value is not valid; expected $expected"
    is SettingsError.Clash -> "$problem; $expected"
}

/** The result of loading settings. */
internal sealed interface SettingsResult {
    data class Loaded(val settings: Settings) : SettingsResult

    /** Every fault found, in order of the lines. */
    data class Rejected(val errors: List<SettingsError>) : SettingsResult
}

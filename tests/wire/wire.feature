Feature: Messages survive encoding, and malformed bytes are refused

  Scenario: every message type has a struct with the same fields
    Then each message type is equal after encoding and decoding

  Scenario: fields that are left out read as zero, false or empty
    Then each message type without values is equal after encoding and decoding

  Scenario: processes of the build before read and write the same messages
    Then each message type converts from and to a mapping alike

  # An upgrade replaces agents and leaders one by one.
  Scenario: builds without a field of reports read and write the others
    Given a build whose schema lacks isUnconfirmed of RunningTask
    Then attempts in its reports read as confirmed, with equal other fields
    And it reads attempts that are unconfirmed, with equal other fields

  Scenario: encoding does not take as long as converting a mapping
    Then encoding a report of 60 tasks takes less than half of that

  Scenario: decoding does not take as long as converting to a mapping
    Then decoding a report of 60 tasks takes less than 40 percent of that

  Scenario Outline: malformed bytes are refused
    Then <bytes> are refused as malformed

    Examples:
      | bytes             |
      | no bytes          |
      | three bytes       |
      | a cut message     |
      | 64 bytes of ones  |
      | an unknown enum   |

  Scenario: random bytes raise no other error
    Then 500 byte strings from a fixed seed are decoded or refused

  Scenario: mutated messages raise no other error
    Then 3000 mutated messages from a fixed seed are decoded or refused

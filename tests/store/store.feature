Feature: Records of the store are read back whole, or named as corrupt

  Scenario: a record is read back equal
    When a claim is packed
    Then it is unpacked equal

  Scenario Outline: a corrupt record is an error that names its type
    When a claim is packed and <damage>
    Then unpacking it tells that the Claim is corrupt

    Examples:
      | damage          |
      | cut off         |
      | lacks its key   |
      | is another type |

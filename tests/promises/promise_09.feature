@promise_9
Feature: Every planned stop is graceful

  Scenario Outline: promise 9 when stopped: <what>
    Given a site with tasks that run and slow requests in flight
    When <what> gets SIGTERM
    Then each request in flight is answered done
    And what was stopped ended with status 0
    And no task was interrupted
    And started again, the site serves as before

    Examples: stops
      | what                          |
      | an entry                      |
      | the owner                     |
      | the other scheduler           |
      | an agent                      |
      | every agent in turn           |
      | every process in turn         |

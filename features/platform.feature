Feature: The platform: steering by targets, controllers by seeds, the adapter

  Scenario Outline: Properties of the platform's path
    Then the property "<property>" holds

    Examples:
      | property                                        |
      | steering.open_flow_keeps_its_target             |
      | steering.wrong_tries_are_few                    |
      | steering.lookup_loses_no_packet                 |
      | steering.lookup_sends_a_packet_once             |
      | placement.busy_targets_are_left_out             |
      | placement.high_load_waits_little                |
      | placement.shifted_callers_reach_other_domains   |
      | steering.reset_by_another_target_ends_no_flow   |
      | steering.nobody_holds_is_reset                  |
      | handover.restarts_cost_no_flow                  |
      | handover.first_announcement_ends_no_flow        |
      | handover.dead_flows_are_reset                   |
      | handover.list_is_given_once                     |
      | handover.newest_list_is_used                    |
      | handover.stopping_agent_takes_no_flow           |
      | handover.stop_says_nothing_of_an_unheard_target |
      | handover.datagrams_round_trip                   |
      | handover.foreign_datagrams_are_refused          |
      | handover.keepers_are_bounded                    |
      | steering.no_reset_while_an_agent_is_missing     |
      | steering.opening_copies_meet_one_target         |
      | steering.returned_opening_finds_a_target        |
      | steering.wrong_service_gets_nothing             |
      | steering.drained_target_gets_no_flow            |
      | steering.nothing_is_refused_before_all_is_known |
      | steering.early_packets_wait                     |
      | steering.departed_target_is_not_waited_for      |
      | subscription.retries_follow_a_start             |
      | steering.early_packets_are_bounded              |
      | steering.cold_budget_holds                      |
      | steering.returned_domain_is_cold                |
      | steering.last_run_is_believed                   |
      | steering.silent_target_is_not_believed          |
      | steering.left_run_does_not_return               |
      | steering.silent_agent_is_avoided                |
      | steering.all_avoided_are_used                   |
      | steering.same_flow_same_agent_by_hash           |
      | steering.long_flows_on_unequal_targets          |
      | steering.load_follows_requests                  |
      | steering.newest_record_stays                    |
      | steering.planned_end_is_told                     |
      | directory.unchanged_agents_cost_nothing         |
      | directory.one_change_costs_one_record           |
      | directory.earlier_builds_get_whole_lists        |
      | directory.silent_agents_are_dropped             |
      | directory.subscribers_agree_in_the_end          |
      | platform.samples_of_the_page                    |
      | platform.packets_round_trip                     |
      | platform.reset_is_inside_the_window             |
      | platform.foreign_packets_are_refused            |
      | platform.unknown_flags_are_refused              |
      | platform.document_is_decoded                    |
      | platform.invalid_documents_are_refused          |
      | platform.foreign_documents_are_refused          |
      | platform.heartbeat_is_decoded                   |
      | platform.foreign_heartbeats_are_refused         |
      | formation.due_change                            |
      | formation.quorum_is_never_reduced               |
      | formation.repair_ends                           |
      | formation.first_leader_comes_at_once            |
      | formation.leader_follows_a_majority              |
      | formation.election_keeps_subscribers             |
      | formation.parted_seeds_found_one_group          |
      | formation.read_needs_a_quorum                   |
      | formation.highest_number_is_in_force            |
      | formation.domain_without_listed_targets         |
      | formation.batches_are_bounded                   |
      | formation.only_the_meant_replica_answers        |
      | steering.registrations_follow_agents           |
      | steering.agent_without_target_is_not_waited_for |
      | steering.returned_packet_finds_its_target      |
      | steering.whole_runs                            |
      | steering.search_tries_no_other_target          |
      | formation.restarted_controllers_exchange_agents_at_once |
      | steering.searches_are_paced |
      | steering.dead_flow_costs_a_balancer_few_datagrams |
      | steering.restarted_agent_asks_its_target |
      | steering.search_ends_once_all_agents_are_known |
      | steering.unsure_agents_answer_the_searcher |
      | steering.searches_share_datagrams |
      | steering.owner_is_among_first_candidates |
      | steering.moved_entry_keeps_its_flows |
      | steering.queries_round_trip |
      | steering.foreign_queries_are_refused |
      | steering.added_balancers_do_not_stop_service |
      | steering.restarted_balancers_do_not_stop_service |
      | steering.service_returns_after_power_loss |
      | steering.bursts_cost_no_packets |
      | steering.paced_flows_take_turns |
      | steering.paced_rate_is_kept |
      | steering.retransmissions_are_paced_once |
      | formation.late_commit_ends_no_task |
      | formation.many_agents_are_registered_in_parts |
      | formation.defect_in_one_datagram_stops_no_loop |
      | logging.rate_is_bounded                        |
      | regression.gates_are_read                       |
      | logging.nobody_reads                           |
      | logging.start_renders_nothing                   |
      | logging.story_in_order                         |
      | logging.story_of_a_change                      |
      | logging.foreign_lines_are_counted              |
      | logging.histogram_counts_all                   |

  Scenario: A process takes a changed settings file in force and lives on
    Given a steering balancer without controllers
    When its settings name another seed and it gets SIGHUP
    Then it still answers its health check

  Scenario: The story of a flow is told from logs
    Given logs of a balancer and an agent
    When the operator asks to explain the flow "100.64.0.7:40001"
    Then the command prints "flow_placed" before "flow_taken"

  Scenario Outline: A story that can't be told is refused with a reason
    Given logs of a balancer and an agent
    When the operator asks to explain with "<arguments>"
    Then the command fails naming "<text>"

    Examples:
      | arguments                  | text                                        |
      | --flow 9.9.9.9:1           | no line of 2 names it                       |
      | --flow 9.9.9.9:1 --id t1   | name exactly one of --flow, --change and --id |
      | --id t1 missing.log        | cannot be read                              |
